package org.cranberrybend.runtime.lifecycle;

/** A part of a process that owns threads, sockets or both. */
public interface Service {
    /**
     * Starts the service. Called once.
     *
     * @throws ServiceException if the service cannot run, for example because its port is in use
     */
    void start() throws ServiceException;

    /** Stops the service and waits until its threads have ended. Safe to call twice. */
    void stop();
}
