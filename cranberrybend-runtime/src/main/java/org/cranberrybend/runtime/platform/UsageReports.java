package org.cranberrybend.runtime.platform;

/** The platform's API for usage reports. */
public interface UsageReports {
    /**
     * Sends the report of a usage window.
     *
     * @param windowStartMs start of the window in milliseconds since the epoch
     * @param body bytes of the sealed window
     * @throws PlatformException if the report was not accepted or its outcome is unknown; retry with the same bytes
     */
    void put(long windowStartMs, byte[] body) throws PlatformException;
}
