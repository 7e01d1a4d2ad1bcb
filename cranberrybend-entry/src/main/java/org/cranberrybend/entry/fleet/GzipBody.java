package org.cranberrybend.entry.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.json.JsonFormatException;

/**
 * JSON bodies between instances, compressed if the other side accepts that. A configuration of many routes is a tenth as
 * long then, so that a narrow link carries it to many instances at once. Instances of earlier versions do not accept it.
 */
final class GzipBody {
    static final Header ACCEPT = new BasicHeader(HttpHeaders.ACCEPT_ENCODING, "gzip");

    private static final String CODING = "gzip";
    private static final List<Header> JSON = List.of(new BasicHeader(HttpHeaders.CONTENT_TYPE, "application/json"));
    /** Length below which a packet holds the body in either form. */
    private static final int MIN_BYTES = 1_024;
    /** Largest body after decompression, so that a damaged one cannot fill the heap. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;

    private GzipBody() {}

    /** Returns whether the sender of a request accepts a compressed response. */
    static boolean isAccepted(ReceivedRequest request) {
        Header accepted = request.head().getFirstHeader(HttpHeaders.ACCEPT_ENCODING);
        return accepted != null && CODING.equals(accepted.getValue());
    }

    /** Returns a body in the form that is sent. */
    static byte[] encode(byte[] json, boolean accepted) {
        return accepted && json.length >= MIN_BYTES ? compress(json) : json;
    }

    /** Sends a body that {@link #encode} has returned. */
    static void respond(ServerExchange exchange, byte[] encoded) {
        List<Header> headers = new ArrayList<>(JSON);
        if (isCompressed(encoded)) {
            headers.add(new BasicHeader(HttpHeaders.CONTENT_ENCODING, CODING));
        }
        exchange.respond(200, "OK", headers, encoded);
    }

    /** Returns whether a body starts as compressed data does, and JSON never does. */
    private static boolean isCompressed(byte[] encoded) {
        return encoded.length > 1 && (encoded[0] & 0xff) == 0x1f && (encoded[1] & 0xff) == 0x8b;
    }

    private static byte[] compress(byte[] json) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream(json.length / 8);
        try (GZIPOutputStream output = new GZIPOutputStream(compressed)) {
            output.write(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return compressed.toByteArray();
    }

    /** Returns the JSON text of a response. */
    static byte[] decode(ApiResponse response) throws JsonFormatException {
        if (!response.header(HttpHeaders.CONTENT_ENCODING).equals(CODING)) {
            return response.body();
        }
        try (GZIPInputStream input = new GZIPInputStream(new ByteArrayInputStream(response.body()))) {
            byte[] json = input.readNBytes(MAX_BYTES + 1);
            if (json.length > MAX_BYTES) {
                throw new JsonFormatException("a compressed body exceeds " + MAX_BYTES + " bytes");
            }
            return json;
        } catch (IOException e) {
            throw new JsonFormatException("a compressed body cannot be read", e);
        }
    }
}
