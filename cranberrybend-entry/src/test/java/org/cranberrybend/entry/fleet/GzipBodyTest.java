package org.cranberrybend.entry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.cranberrybend.entry.http.ApiResponse;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.json.JsonFormatException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class GzipBodyTest {
    private static final byte[] LONG_JSON =
            ("{\"routes\":[" + "{\"prefix\":\"/a/\"},".repeat(1_000) + "{}]}").getBytes(StandardCharsets.US_ASCII);

    private static ApiResponse response(byte[] body, String coding) {
        BasicHttpResponse head = new BasicHttpResponse(200);
        head.setHeader(HttpHeaders.CONTENT_ENCODING, coding);
        return new ApiResponse(head, body);
    }

    // Guards against a configuration that crosses a narrow link in full for each instance behind it.
    @Test
    void longBodyIsSentCompressed() throws JsonFormatException {
        byte[] encoded = GzipBody.encode(LONG_JSON, true);
        assertThat(encoded.length).isLessThan(LONG_JSON.length / 10);
        assertThat(GzipBody.decode(response(encoded, "gzip"))).isEqualTo(LONG_JSON);
    }

    // Guards against a compressed response to an instance of an earlier version, which cannot read it.
    @ParameterizedTest
    @CsvSource({"gzip, true", "identity, false", "'', false"})
    void bodyIsCompressedOnlyIfTheOtherSideAcceptsIt(String accepted, boolean compressed) {
        BasicHttpRequest head = new BasicHttpRequest("POST", "/");
        if (!accepted.isEmpty()) {
            head.setHeader(HttpHeaders.ACCEPT_ENCODING, accepted);
        }
        boolean isAccepted = GzipBody.isAccepted(new ReceivedRequest(head, new byte[0], 0));
        assertThat(isAccepted).isEqualTo(compressed);
        assertThat(GzipBody.encode(LONG_JSON, isAccepted).length < LONG_JSON.length)
                .isEqualTo(compressed);
    }

    // Guards against a part of a state that is taken for the whole, and against an unexpected error on the event loop.
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 20, 60})
    void damagedBodyIsRefused(int length) {
        byte[] encoded = GzipBody.encode(LONG_JSON, true);
        assertThrows(
                JsonFormatException.class, () -> GzipBody.decode(response(Arrays.copyOf(encoded, length), "gzip")));
    }

    // Guards against a small body that fills the heap when it is decompressed.
    @Test
    void bodyThatGrowsWithoutBoundIsRefused() {
        byte[] encoded = GzipBody.encode(new byte[64 * 1024 * 1024], true);
        assertThrows(JsonFormatException.class, () -> GzipBody.decode(response(encoded, "gzip")));
    }
}
