"""The stages of a request's way: read, route, place, send, judge, answer."""
