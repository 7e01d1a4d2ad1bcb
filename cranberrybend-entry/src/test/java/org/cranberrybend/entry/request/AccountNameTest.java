package org.cranberrybend.entry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.cranberrybend.entry.testing.Responses.response;
import static org.cranberrybend.entry.testing.Responses.statusOf;
import static org.cranberrybend.entry.testing.ScriptedUpstream.write;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.testing.EntryFixture;
import org.cranberrybend.entry.testing.RawCaller;
import org.cranberrybend.entry.testing.ScriptedUpstream;
import org.cranberrybend.entry.testing.ScriptedUpstream.Received;
import org.cranberrybend.entry.testing.ScriptedUpstream.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Client accounts, API keys and routes with letters beyond ASCII, and with text that no head can hold. */
class AccountNameTest {
    private static final Script RESPONDS =
            (received, connection) -> write(connection, response(received, "200 OK", "done"));

    /** Returns a text as the bytes of its UTF-8, one character each, as heads are sent and received here. */
    private static String utf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static RoutingConfiguration configuration(
            long version, String host, String prefix, boolean anonymous, Map<String, AccountEntry> accounts) {
        Route route = new Route(
                "r",
                host.toLowerCase(Locale.ROOT),
                prefix,
                RetryRule.ONCE,
                false,
                30_000,
                500,
                0,
                1,
                List.of(new Route.Target("work", 1)),
                1,
                anonymous);
        return new RoutingConfiguration(
                version, List.of(route), List.of(), accounts, true, new ServerLimits(8_192, 100_000, 2_000, 10_000));
    }

    private static AccountEntry account(String name) {
        return new AccountEntry(name, AccountEntry.ROUTE_PRIORITY);
    }

    private static String call(EntryFixture entry, String host, String path, String attempt, String key)
            throws Exception {
        String head = "GET " + utf8(path) + " HTTP/1.1\nHost: " + utf8(host) + "\nAttempt: " + attempt
                + "\nAuthorization: Bearer " + utf8(key) + "\nDeadline: 1400\nConnection: close\n\n";
        try (RawCaller caller = entry.caller()) {
            return caller.send(head).readAll();
        }
    }

    private static void offer(EntryFixture entry, RoutingConfiguration configuration) throws Exception {
        entry.onLoop(() -> {
            entry.offer(configuration);
            return null;
        });
    }

    // Guards against accounts that reach upstreams under one name because their letters beyond Latin-1 are replaced.
    @ParameterizedTest
    @CsvSource({"K\u0151v\u00e1ri, K\u0171v\u00e1ri", "\u00c3\u00a9, \u00e9", "\u65e5, \u672c", "fida11, fida12"})
    void upstreamReceivesTheNameOfTheAccount(String first, String second) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream)) {
            Map<String, AccountEntry> accounts = Map.of("key-1", account(first), "key-2", account(second));
            offer(entry, configuration(2, "site.example", "/once/", false, accounts));
            assertThat(statusOf(call(entry, "site.example", "/once/x", "a1", "key-1")))
                    .isEqualTo("200");
            assertThat(statusOf(call(entry, "site.example", "/once/x", "a2", "key-2")))
                    .isEqualTo("200");
            List<Received> received = upstream.received();
            assertThat(received.get(0).headers()).containsEntry("account", utf8(first));
            assertThat(received.get(1).headers()).containsEntry("account", utf8(second));
            assertThat(entry.counted(first)).isEqualTo(1);
            assertThat(entry.counted(second)).isEqualTo(1);
        }
    }

    // Guards against requests that run under another name than that of their account, or under none, because no
    // head can hold it: as another account, or with a line of the name as a field of its own. Routes that are open
    // to all are no exception, since the request came with a key.
    @ParameterizedTest
    @ValueSource(
            strings = {"a\nDeadline: 1", "a\r\n\r\nGET / HTTP/1.1", " a", "a ", "a\u0000", "\ud800", "a\u000bb", "\t"})
    void requestOfAnAccountWhoseNameNoHeadCanHoldIsRefused(String name) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream)) {
            for (boolean anonymous : new boolean[] {false, true}) {
                Map<String, AccountEntry> accounts = Map.of("key-1", account(name), "key-2", account("b"));
                offer(entry, configuration(anonymous ? 3 : 2, "site.example", "/once/", anonymous, accounts));
                String refused = call(entry, "site.example", "/once/x", "a1", "key-1");
                assertThat(statusOf(refused)).isEqualTo("503");
                assertThat(refused).contains("not_run");
                assertThat(refused).contains("account_name_unusable");
                assertThat(upstream.received()).isEmpty();
            }
            assertThat(statusOf(call(entry, "site.example", "/once/x", "a2", "key-2")))
                    .isEqualTo("200");
        }
    }

    // Guards against callers that are turned away although key, host and path are those of the configuration, which the
    // head carries as UTF-8.
    @ParameterizedTest
    @CsvSource({
        "kulcs-\u0171, site.example, /once/, 200",
        "kulcs-\u00e9, site.example, /once/, 200",
        "key-1, \u0171r.example, /once/, 200",
        "key-1, \u0170R.example, /once/, 200",
        "key-1, site.example, /\u0171r/, 200",
        "key-1, site.example, /once/, 200"
    })
    void requestMatchesTextBeyondAscii(String key, String host, String prefix, String status) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream)) {
            offer(entry, configuration(2, host, prefix, false, Map.of(key, account("a"))));
            String answer = call(entry, host.toLowerCase(Locale.ROOT), prefix + "x", "a1", key);
            assertThat(statusOf(answer)).isEqualTo(status);
            assertThat(upstream.received().get(0).line()).isEqualTo("GET " + utf8(prefix) + "x HTTP/1.1");
        }
    }

    // Guards against a key that is accepted because half a letter in the configured one is replaced by a question mark.
    @ParameterizedTest
    @CsvSource({"key-\ud800, key-?", "'key-1 ', key-1", "key-\u0171, key-?"})
    void keyThatOnlyResemblesAConfiguredOneIsRefused(String configured, String sent) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(RESPONDS);
                EntryFixture entry = new EntryFixture(upstream)) {
            offer(entry, configuration(2, "site.example", "/once/", false, Map.of(configured, account("a"))));
            assertThat(statusOf(call(entry, "site.example", "/once/x", "a1", sent)))
                    .isEqualTo("401");
            assertThat(upstream.received()).isEmpty();
        }
    }
}
