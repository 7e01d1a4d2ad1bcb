package org.cranberrybend.experiment.check;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.cranberrybend.runtime.http.HttpResult;

/**
 * One HTTP connection whose requests are written as raw text, because an HTTP client does not send malformed requests.
 * Responses are parsed by the HTTP library.
 */
public final class HttpExchange implements Closeable {
    private static final int CONNECT_TIMEOUT_MS = 5_000;
    // Longer than any pause of a healthy fleet.
    private static final int READ_TIMEOUT_MS = 60_000;

    private final Socket socket = new Socket();
    private final DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(Http1Config.DEFAULT);

    private HttpExchange() {}

    /** Connects to {@code host:port}. */
    public static HttpExchange open(String address) throws IOException {
        HttpExchange exchange = new HttpExchange();
        try {
            int colon = address.lastIndexOf(':');
            exchange.socket.setTcpNoDelay(true);
            exchange.socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    CONNECT_TIMEOUT_MS);
            exchange.socket.setSoTimeout(READ_TIMEOUT_MS);
            exchange.connection.bind(exchange.socket);
            return exchange;
        } catch (IOException e) {
            exchange.close();
            throw e;
        }
    }

    /** Returns the text of a request that asks the server to close the connection after its response. */
    public static String request(String method, String target, Map<String, String> headers, String body) {
        StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: fleet\r\n");
        headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        if (body != null) {
            text.append("Content-Type: application/json\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n");
        }
        return text.append("Connection: close\r\n\r\n")
                .append(body == null ? "" : body)
                .toString();
    }

    /** Sends a request on a new connection and returns the complete response. */
    public static HttpResult call(
            String address, String method, String target, Map<String, String> headers, String body) throws IOException {
        try (HttpExchange exchange = open(address)) {
            exchange.write(request(method, target, headers, body));
            return exchange.result();
        }
    }

    /** Writes a part of a request and flushes it. */
    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads the status and headers of the next response, which may be an interim one (1xx). */
    public ClassicHttpResponse head() throws IOException {
        try {
            ClassicHttpResponse response = connection.receiveResponseHeader();
            if (response == null) {
                throw new IOException("connection closed without a response");
            }
            if (response.getCode() >= 200) {
                connection.receiveResponseEntity(response);
            }
            return response;
        } catch (HttpException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Skips interim responses and reads the final response with its body. */
    public HttpResult result() throws IOException {
        ClassicHttpResponse response = head();
        while (response.getCode() < 200) {
            response = head();
        }
        byte[] body = response.getEntity() == null ? new byte[0] : EntityUtils.toByteArray(response.getEntity());
        return new HttpResult(response.getCode(), headers(response), body);
    }

    static Map<String, String> headers(ClassicHttpResponse response) {
        Map<String, String> headers = new HashMap<>();
        for (Header each : response.getHeaders()) {
            headers.put(each.getName().toLowerCase(Locale.ROOT), each.getValue());
        }
        return headers;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
