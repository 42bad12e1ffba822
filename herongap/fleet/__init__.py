"""The fleet model: many controllers of the library and their streamers and viewers, in virtual time."""
