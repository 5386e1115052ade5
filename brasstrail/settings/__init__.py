"""The settings file: its typed records and their validation."""
