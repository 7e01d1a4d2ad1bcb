package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.apache.hc.core5.http.Header;

/** The answer to one request. All calls are made on the event loop of the server. */
public interface ServerExchange {
    /** Length of a body that is sent in chunks. */
    long CHUNKED = -1;

    /** Sets what is called once if the caller disconnects before the answer has ended. */
    void onCallerDisconnected(Runnable listener);

    /** Sends a whole answer. */
    void respond(int status, String reason, List<Header> headers, byte[] body);

    /**
     * Sends the head of an answer.
     *
     * @param length length of the body in bytes, or {@link #CHUNKED}
     */
    void begin(int status, String reason, List<Header> headers, long length);

    /** Sends a piece of the body and takes over its reference. */
    void write(ByteBuf piece);

    /** Ends the answer. */
    void end();

    /** Closes the connection without ending the answer, so that the caller sees that it is incomplete. */
    void abort();

    /** Returns whether the caller is still connected and the answer has not ended. */
    boolean isOpen();
}
