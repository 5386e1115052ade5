"""The adapter to the users' platform: converts its headers, documents and calls.

Importing the package registers the dialect `fleet`. The adapter only converts
formats and makes no scheduling decisions. The platform's names are used only in
this package.
"""

from brasstrail.platform import dialect  # noqa: F401
