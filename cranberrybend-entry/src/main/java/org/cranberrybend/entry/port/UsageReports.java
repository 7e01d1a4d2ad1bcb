package org.cranberrybend.entry.port;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The platform's interface for usage reports. */
public interface UsageReports {
    /** Reports the requests of each client account that started in a window; fails with a {@link DutyException}. */
    CompletableFuture<Void> report(DutyGrant grant, long window, Map<String, Long> requestsByAccount);
}
