package org.cranberrybend.entry.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTest {
    /** Stack size of the threads of an entry instance. */
    private static final long STACK_BYTES = 256 * 1024;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    // Guards against a document whose nesting overflows the stack of the event loop.
    @Test
    void deeplyNestedDocumentIsRefused() throws Exception {
        byte[] document = bytes("{\"a\":" + "[".repeat(900) + "]".repeat(900) + "}");
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread reader = new Thread(
                null,
                () -> {
                    try {
                        Json.readObject(document);
                    } catch (JsonFormatException | StackOverflowError e) {
                        failure.set(e);
                    }
                },
                "reader",
                STACK_BYTES);
        reader.start();
        reader.join();
        assertThat(failure.get()).isInstanceOf(JsonFormatException.class);
    }

    // Guards against anything but a format error for bytes that are no JSON object.
    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "null", "{\"a\":", "{\"a\":1e999999999}x", "{\"a\":99999999999999999999}", "{a}"})
    void unreadableDocumentIsAFormatError(String document) {
        assertThrows(JsonFormatException.class, () -> Json.readObject(bytes(document)));
    }

    // Guards against an entry that has the event loop wait for a name server.
    @ParameterizedTest
    @ValueSource(strings = {"host.example:80", "10.0.0.1", "10.0.0.1:99999", "10.0.0:80", ":80", "10.0.0.1:x"})
    void addressThatIsNoIpAddressIsAFormatError(String address) throws Exception {
        JsonObject json = Json.readObject(bytes("{\"address\":\"" + address + "\"}"));
        assertThrows(JsonFormatException.class, () -> json.address("address"));
    }
}
