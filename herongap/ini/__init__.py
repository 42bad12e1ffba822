"""Reading and validating the INI file of a controller, the streamer list and the catalogue."""

from herongap.ini.files import Catalogue, read_catalogue, read_list
from herongap.ini.site import ConfigFileError, SiteConfig, parse_site_config, read_site_config

__all__ = [
    "Catalogue",
    "ConfigFileError",
    "SiteConfig",
    "parse_site_config",
    "read_catalogue",
    "read_list",
    "read_site_config",
]
