package org.cranberrybend.entry.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.apache.hc.core5.http.message.BasicHeader;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Text of the configuration in the heads of messages. */
class HeaderTextTest {
    /** Letters from all planes, characters that parsers treat specially, and one that is half a letter. */
    private static final String[] PIECES = {
        "a",
        "B",
        " ",
        "\t",
        "\u00e9",
        "\u0151",
        "\u0171",
        "\u65e5",
        "\ud83d\ude00",
        "\ud800",
        "\n",
        "\r",
        "\u0000",
        "\u007f",
        "\u0085",
        "\u00a0",
        "\u2028",
        "?",
        ":",
        "\u00c3",
        "\u00a9"
    };

    private static String written(String value) {
        ByteBuf head = HeadFormatter.request("GET", "/", List.of(new BasicHeader("Account", value)));
        return head.toString(StandardCharsets.UTF_8);
    }

    static List<String> namesThatHeadsCanHold() {
        return List.of(
                "alpha", "K\u0151v\u00e1ri", "K\u0171v\u00e1ri", "\u65e5\u672c", "a b", "\u00c3\u00a9", "\ud83d\ude00");
    }

    // Guards against letters that are replaced by question marks, and against Latin-1 beside UTF-8, with which two
    // names can have the same bytes.
    @ParameterizedTest
    @MethodSource("namesThatHeadsCanHold")
    void headCarriesTheUtf8OfAText(String name) {
        assertThat(written(HeaderText.encode(name).orElseThrow())).contains("\r\nAccount: " + name + "\r\n");
    }

    // Guards against text that the receiver reads as another one: the end of a line, white space that is no part of a
    // field, or half a letter, which UTF-8 replaces by a question mark.
    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", "a\nb", "a\rb", "a\u0000", "\u007f", " a", "a ", "a\t", "\ud800", "a\udc00b", "\u000b"})
    void textThatNoHeadCanHoldHasNoForm(String name) {
        assertThat(HeaderText.encode(name)).isEmpty();
    }

    // Guards against a head that is written with other text than was given, wherever that comes from.
    @ParameterizedTest
    @ValueSource(strings = {"\u0151", "a\nb", "a\rb", "a\fb", "a\u000bb", "a\u0000b", "a\u007fb", "\ud800"})
    void headWithOtherTextIsNotWritten(String value) {
        assertThrows(IllegalArgumentException.class, () -> written(value));
        assertThrows(IllegalArgumentException.class, () -> HeadFormatter.request("GET", "/" + value, List.of()));
        assertThrows(
                IllegalArgumentException.class,
                () -> HeadFormatter.response(200, "OK", List.of(new BasicHeader(value, "a"))));
    }

    // Guards against two texts that look the same to the receiver, whatever they consist of.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void differentTextsHaveDifferentBytes(long seed) {
        Random random = new Random(seed);
        Map<String, String> textsByHead = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int length = 1 + random.nextInt(4); length > 0; length--) {
                text.append(PIECES[random.nextInt(PIECES.length)]);
            }
            Optional<String> form = HeaderText.encode(text.toString());
            if (form.isPresent()) {
                String earlier = textsByHead.putIfAbsent(written(form.get()), text.toString());
                assertWithMessage("seed %s", seed)
                        .that(earlier == null ? text.toString() : earlier)
                        .isEqualTo(text.toString());
            }
        }
    }
}
