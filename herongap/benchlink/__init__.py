"""The bench's wire on standard input and output, one deciding module for each instance."""
