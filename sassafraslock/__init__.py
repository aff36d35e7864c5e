"""sassafraslock: global traffic steering between callers and backend servers."""

VERSION = "0.1.0"
