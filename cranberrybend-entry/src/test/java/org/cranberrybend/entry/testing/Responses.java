package org.cranberrybend.entry.testing;

import org.cranberrybend.entry.testing.ScriptedUpstream.Received;

/** Texts of upstreams' responses and of their parts. */
public final class Responses {
    private Responses() {}

    /** Returns a complete response to a request. */
    public static String response(Received request, String status, String body) {
        return response(request.headers().get("attempt"), status, body);
    }

    /** Returns a complete response with the given attempt identifier. */
    public static String response(String attempt, String status, String body) {
        return "HTTP/1.1 " + status + "\r\nAttempt: " + attempt + "\r\nSignature: s1\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** Returns the head of a stream in chunks. */
    public static String streamHead(Received request) {
        return unframedStreamHead(request) + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns the head of a stream without the header that frames its body, and without the empty line. */
    public static String unframedStreamHead(Received request) {
        return "HTTP/1.1 200 OK\r\nAttempt: " + request.headers().get("attempt")
                + "\r\nSignature: s1\r\nContent-Type: text/event-stream\r\n";
    }

    /** Returns a chunk of a body. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns an event of a stream. */
    public static String event(int id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    /** Returns the status code of a response; {@code none} if the response is empty. */
    public static String statusOf(String response) {
        return response.isEmpty() ? "none" : response.substring(9, 12);
    }
}
