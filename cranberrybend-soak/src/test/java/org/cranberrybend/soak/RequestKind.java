package org.cranberrybend.soak;

/** Kinds of requests that callers send. */
enum RequestKind {
    /** May run once at most. */
    ORDER("/once/order", "non_idempotent", false),
    /** May run again. */
    LOOKUP("/safe/lookup", "safe", false),
    /** A stream that may run once at most. */
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

    boolean resumable() {
        return resumable;
    }

    boolean stream() {
        return routeType.equals("streaming");
    }

    String service() {
        return stream() ? "model" : "desk";
    }

    /** Returns whether a request may run once at most. */
    boolean once() {
        return !resumable && this != LOOKUP;
    }
}
