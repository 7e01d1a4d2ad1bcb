package org.cranberrybend.entry.http;

/** What an attempt to connect shows about a server. */
public enum ListenState {
    /** A process accepts connections. */
    LISTENING,
    /** The host is up and no process listens. */
    REFUSED,
    /** No response came in time; the host or the network may be down. */
    UNKNOWN
}
