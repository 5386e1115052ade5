"""A request scheduler that stands between callers and unlike backend servers."""

__version__ = "0.1.0"
