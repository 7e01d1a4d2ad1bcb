package org.cranberrybend.entry.testing;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.cranberrybend.entry.http.ServerExchange;

/** The exchange of a caller that stays connected and reads each response; records a response that is sent as a whole. */
public final class ResponseRecorder implements ServerExchange {
    private int status;
    private byte[] body = new byte[0];
    private byte[] sent = body;

    /** Returns the status of the response; 0 if there is none. */
    public int status() {
        return status;
    }

    /** Returns the body of the response. */
    public byte[] body() {
        return body.clone();
    }

    /** Returns whether the responses of two exchanges were sent from the same array. */
    public boolean sharesBodyWith(ResponseRecorder other) {
        return sent == other.sent;
    }

    @Override
    public void onCallerDisconnected(Runnable listener) {
        // The caller stays connected.
    }

    @Override
    public void respond(int responseStatus, String reason, List<Header> headers, byte[] content) {
        status = responseStatus;
        body = content.clone();
        sent = content;
    }

    @Override
    public void begin(int responseStatus, String reason, List<Header> headers, long length) {
        status = responseStatus;
    }

    @Override
    public void onWritable(Runnable listener) {
        // The caller reads each response.
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public void write(ByteBuf piece) {
        piece.release();
    }

    @Override
    public void end() {
        // Only responses that are sent as a whole are recorded.
    }

    @Override
    public void abort() {
        status = 0;
    }

    @Override
    public boolean isOpen() {
        return true;
    }
}
