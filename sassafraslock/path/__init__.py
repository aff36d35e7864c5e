"""The stages that handle a request: read, route, place, send, judge, answer."""
