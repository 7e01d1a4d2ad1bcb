package org.cranberrybend.entry.request;

import java.util.function.BiConsumer;
import org.cranberrybend.core.error.ErrorCode;

/** A request as {@link OverloadAdmission} sees it: it waits for room at the upstreams, and is then sent or refused. */
final class HeldRequest {
    private final RoutedRequest request;
    private final RequestPlacement placement;
    private final RequestLog requestLog;
    private final Runnable sender;
    private final BiConsumer<ErrorResponse, String> refuser;

    /**
     * Creates the view of a request.
     *
     * @param sender sends the request
     * @param refuser refuses it with a response and a cause
     */
    HeldRequest(
            RoutedRequest request,
            RequestPlacement placement,
            RequestLog requestLog,
            Runnable sender,
            BiConsumer<ErrorResponse, String> refuser) {
        this.request = request;
        this.placement = placement;
        this.requestLog = requestLog;
        this.sender = sender;
        this.refuser = refuser;
    }

    RoutedRequest request() {
        return request;
    }

    RequestPlacement placement() {
        return placement;
    }

    void send() {
        sender.run();
    }

    /** Refuses the request, which has certainly not run. */
    void refuse(OverloadBasis basis, long excessMs) {
        long retryAfterMs = ErrorResponse.retryAfterExcessMs(excessMs, request.attemptId());
        requestLog.recordOverload(basis, retryAfterMs);
        refuser.accept(
                ErrorResponse.notRun(ErrorCode.OVERLOADED, retryAfterMs, request.service()), "all upstreams are full");
    }
}
