package org.cranberrybend.soak;

/** Kinds of requests that callers send, each with a route of its own. */
enum RequestKind {
    /** Executed at most once. */
    ORDER("/once/order", "non_idempotent", false),
    /** May be retried. */
    LOOKUP("/safe/lookup", "safe", false),
    /** A stream that is executed at most once. */
    DRAFT("/once/stream/draft", "streaming", false),
    /** A stream that may be resumed at another upstream. */
    CHAT("/resume/stream/chat", "streaming", true);

    private final String path;
    private final String routeType;
    private final boolean resumable;

    RequestKind(String path, String routeType, boolean resumable) {
        this.path = path;
        this.routeType = routeType;
        this.resumable = resumable;
    }

    String path() {
        return path;
    }

    String prefix() {
        return path.substring(0, path.lastIndexOf('/') + 1);
    }

    String routeType() {
        return routeType;
    }

    boolean isResumable() {
        return resumable;
    }

    boolean isStream() {
        return routeType.equals("streaming");
    }

    String service() {
        return isStream() ? "model" : "desk";
    }

    /** Returns whether a request may be executed at most once. */
    boolean isAtMostOnce() {
        return !resumable && this != LOOKUP;
    }
}
