"""The adapter to the users' platform: its names, formats and calls.

Importing the package registers the dialect `fleet`. Nothing here decides
anything, and nothing outside knows the platform's names.
"""

from brasstrail.platform import dialect  # noqa: F401
