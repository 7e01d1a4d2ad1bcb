package org.cranberrybend.router.accept;

/** Handles the requests of all callers; called concurrently by the threads of the connections. */
public interface RequestHandler {
    /**
     * Handles one request and returns the identifier of its API key, or an empty string if it was not authenticated.
     *
     * @throws CallerDisconnectedException if the caller disconnected
     * @throws InterruptedException if the router is stopped
     */
    String handle(CallerRequest request, CallerResponse response)
            throws CallerDisconnectedException, InterruptedException;

    /** Returns whether an API key was revoked, in which case its idle connections must be closed. */
    boolean isRevoked(String keyId);
}
