"""The replicated state and the files that store it."""
