package org.cranberrybend.router.dispatch;

import java.io.IOException;
import java.net.SocketTimeoutException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.cranberrybend.core.routing.Upstream;

/**
 * Sends requests to upstreams and checks that each response belongs to its request.
 *
 * <p>It never retries; its failures state whether a byte may have been sent.
 */
final class UpstreamClient {
    static final String REQUEST_ID = "X-Request-Id";
    private static final String NOT_RUN = "X-Not-Run";
    private static final String LEAVING = "X-Leaving";

    private final UpstreamPool pool;

    UpstreamClient(UpstreamPool pool) {
        this.pool = pool;
    }

    /**
     * Sends a request and receives the headers of its response. The response must be closed.
     *
     * @throws UpstreamFailure if the upstream gave no usable response, or rejected the request without executing it
     * @throws CallAbortedException if the check aborted the call; the connection is closed, which cancels the request
     */
    UpstreamResponse open(Upstream upstream, UpstreamCall call, CallAbortCheck abortCheck)
            throws UpstreamFailure, CallAbortedException {
        UpstreamConnection connection;
        try {
            connection = pool.lease(upstream.host(), upstream.port(), call.reuseConnection());
        } catch (IOException e) {
            throw UpstreamFailure.notSent("cannot connect");
        }
        boolean handedOver = false;
        try {
            connection.send(toRequest(upstream, call), call, abortCheck);
            ClassicHttpResponse response = connection.receive();
            checkRequestId(response, call);
            if (response.getCode() == 503 && isTrue(response, NOT_RUN)) {
                throw UpstreamFailure.rejected(isTrue(response, LEAVING));
            }
            if (mayHaveBody(call, response)) {
                connection.receiveEntity(response);
            }
            handedOver = true;
            return new UpstreamResponse(response, connection, call, pool);
        } catch (CallAbortedIoException e) {
            throw e.callAborted();
        } catch (SocketTimeoutException e) {
            if (connection.isReused()) {
                pool.closeAllAfterReadTimeout();
            }
            throw connection.mayHaveSent()
                    ? UpstreamFailure.timeout(call.readTimeoutMs())
                    : UpstreamFailure.notSent("cannot send");
        } catch (IOException | HttpException e) {
            throw connection.mayHaveSent()
                    ? UpstreamFailure.outcomeUnknown("the connection failed")
                    : UpstreamFailure.notSent("cannot send");
        } finally {
            if (!handedOver) {
                connection.close();
            }
        }
    }

    private static ClassicHttpRequest toRequest(Upstream upstream, UpstreamCall call) {
        ClassicHttpRequest request = new BasicClassicHttpRequest(call.method(), call.target());
        call.headers().forEach(request::addHeader);
        request.setHeader(HttpHeaders.HOST, upstream.host() + ":" + upstream.port());
        request.setHeader(REQUEST_ID, call.requestId());
        if (call.body() != null) {
            request.setHeader(HttpHeaders.CONTENT_LENGTH, call.body().length);
            request.setEntity(new ByteArrayEntity(call.body(), null));
        }
        return request;
    }

    private static void checkRequestId(ClassicHttpResponse response, UpstreamCall call) throws UpstreamFailure {
        Header header = response.getFirstHeader(REQUEST_ID);
        boolean matches =
                header == null ? !call.requestIdRequired() : call.requestId().equals(header.getValue());
        if (!matches) {
            throw UpstreamFailure.outcomeUnknown("the response belongs to another request");
        }
    }

    private static boolean isTrue(ClassicHttpResponse response, String name) {
        Header header = response.getFirstHeader(name);
        return header != null && "true".equalsIgnoreCase(header.getValue());
    }

    private static boolean mayHaveBody(UpstreamCall call, ClassicHttpResponse response) {
        int status = response.getCode();
        return !call.method().equals("HEAD") && status != 204 && status != 304;
    }
}
