package org.cranberrybend.runtime.lifecycle;

/** Component of a process that owns threads or sockets. */
public interface Service {
    /**
     * Starts the service. Called once.
     *
     * @throws ServiceException if the service cannot run, for example because its port is in use
     */
    void start() throws ServiceException;

    /** Stops the service and waits for its threads to end, possibly with a time limit. Idempotent. */
    void stop();
}
