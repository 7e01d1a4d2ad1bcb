package org.cranberrybend.runtime.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to a server whose responses have a corrupted head. */
class BlockingHttpClientTest {
    private static final long TIMEOUT_MS = 10_000;

    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stopListening() throws IOException {
        listener.close();
    }

    private HttpResult call(String response) throws IOException {
        Thread server = new Thread(() -> respond(response), "server");
        server.setDaemon(true);
        server.start();
        try (BlockingHttpClient client = new BlockingHttpClient(TIMEOUT_MS, TIMEOUT_MS)) {
            return client.get(URI.create("http://127.0.0.1:" + listener.getLocalPort() + "/"));
        }
    }

    private void respond(String response) {
        try (Socket connection = listener.accept()) {
            connection.getInputStream().read(new byte[8_192]);
            connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            // The client or the test has closed its end.
        }
    }

    // Guards against a call that succeeds with another status or body than the server's, because the library's parser
    // accepts a head that HTTP does not have.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 4",
                "HTTP/1.1 999 OK\r\nContent-Length: 4",
                "HTTP/1.1  200 OK\r\nContent-Length: 4",
                "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4",
                "HTTP/1.1 200 OK\r\nContent-Length : 4",
                "HTTP/1.1 200 OK\r\nOdd : 1\r\nContent-Length: 4",
                "HTTP/1.1 200 OK\r\nO\u0000dd: 1\r\nContent-Length: 4",
                "HTTP/1.1 200 OK\r\n Odd: 1\r\nContent-Length: 4",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n 2",
                "HTTP/1.1 200 OK\r\nContent-Length: +4",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked"
            })
    void responseWithACorruptedHeadFailsTheCall(String head) {
        assertThrows(IOException.class, () -> call(head + "\r\n\r\ndone"));
    }

    // Guards against a check that refuses sound responses.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
                "HTTP/1.1 200\r\nConnection: close\r\nOdd:\r\n\r\ndone",
                "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
            })
    void soundResponseIsReturned(String response) throws IOException {
        HttpResult result = call(response);
        assertThat(result.status()).isEqualTo(200);
        assertThat(new String(result.body(), StandardCharsets.UTF_8)).isEqualTo("done");
    }
}
