"""Events of the HTTP listeners, numbers 110 to 119."""

from godwitpass.events import EventKind, Level

CLIENT_LIMITED = EventKind(
    110,
    "http-client-limited",
    "Listener `listener` refused a request of `client` or closed its connection: `reason`."
    " Logged at most once a minute for each client.",
    Level.WARNING,
)
APPLICATION_FAILED = EventKind(
    111,
    "http-application-failed",
    "A request to listener `listener` failed with an internal error: `error`.",
    Level.ERROR,
)
