"""Message formats, their codec, and the sessions that deliver the messages."""
