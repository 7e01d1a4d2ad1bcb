package org.cranberrybend.entry.http;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.apache.hc.core5.http.Header;

/** Sends the response to one request. All methods must be called on the event loop of the server. */
public interface ServerExchange {
    /** Length that stands for chunked transfer coding. */
    long CHUNKED = -1;

    /** Sets the listener that is called once if the caller disconnects before the end of the response. */
    void onCallerDisconnected(Runnable listener);

    /** Sends a complete response. */
    void respond(int status, String reason, List<Header> headers, byte[] body);

    /**
     * Sends the head of a response.
     *
     * @param length length of the body in bytes, or {@link #CHUNKED}
     */
    void begin(int status, String reason, List<Header> headers, long length);

    /**
     * Sets the listener that is called when the caller has received enough of the response for more to be written,
     * after {@link #isWritable} returned false.
     */
    void onWritable(Runnable listener);

    /** Returns whether the caller receives the response about as fast as it is written. */
    boolean isWritable();

    /** Sends a piece of the body and takes ownership of the buffer. */
    void write(ByteBuf piece);

    /** Ends the response. */
    void end();

    /** Closes the connection without ending the response, so that the caller recognizes it as incomplete. */
    void abort();

    /** Returns whether the caller is still connected and the response has not ended. */
    boolean isOpen();
}
