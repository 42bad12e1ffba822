"""Reading and checking the INI files of the front, the list of streamers and the catalogue."""

from herongap.ini.files import Catalogue, read_catalogue, read_list
from herongap.ini.site import Faults, Site, parse_site, read_site

__all__ = ["Catalogue", "Faults", "Site", "parse_site", "read_catalogue", "read_list", "read_site"]
