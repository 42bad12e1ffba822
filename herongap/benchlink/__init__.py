"""Serves the bench's wire on standard input and output, with one deciding module for each instance."""
