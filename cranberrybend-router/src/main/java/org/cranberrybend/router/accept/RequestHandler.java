package org.cranberrybend.router.accept;

/** Answers the requests of all callers; called by one thread per connection. */
public interface RequestHandler {
    /**
     * Answers one request and returns the identifier of the key it carried, or an empty text.
     *
     * @throws CallerDisconnectedException if the caller disconnected
     * @throws InterruptedException if the router is stopped
     */
    String handle(CallerRequest request, CallerResponse response)
            throws CallerDisconnectedException, InterruptedException;

    /** Returns whether a key was revoked, so that its connections must not stay open. */
    boolean isRevoked(String keyId);
}
