package org.cranberrybend.runtime.platform;

import java.net.URI;
import org.cranberrybend.runtime.http.HttpResult;

/** HTTP client for the platform's API for usage reports. */
public final class UsageReportClient implements UsageReports, AutoCloseable {
    private final PlatformHttpClient client;

    /**
     * Creates a client for the platform at the given address.
     *
     * @param reportTimeoutMs maximum wait for the response to a report, in milliseconds
     */
    public UsageReportClient(URI platformUri, long reportTimeoutMs) {
        this.client = new PlatformHttpClient(platformUri, reportTimeoutMs);
    }

    @Override
    public void put(long windowStartMs, byte[] body) throws PlatformException {
        HttpResult result = client.call("PUT", "/v1/usage-reports/" + windowStartMs, body);
        if (!result.isSuccess()) {
            throw new PlatformException("usage report " + windowStartMs, result.status());
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
