package org.cranberrybend.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.ProtocolException;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.configuration.AccountEntry;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.http.HeaderRules;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.Prompt;

/** Takes each request of a caller through route and account, and begins its exchange. */
public final class RequestRouter implements RequestHandler {
    private static final String BEARER = "bearer ";
    private static final long NO_CONFIGURATION_RETRY_MS = 500;
    /** Time for which a request waits for the first configuration and the first list of upstreams. */
    private static final long START_WAIT_MS = 300;

    private static final long START_POLL_MS = 25;

    private final ConfigurationHolder configuration;
    private final RequestServices services;
    private final Set<String> removedHeaders;

    RequestRouter(ConfigurationHolder configuration, RequestServices services) {
        this.configuration = configuration;
        this.services = services;
        this.removedHeaders = services.names().reserved();
    }

    @Override
    public void handle(ReceivedRequest received, ServerExchange caller) {
        HttpRequest head = received.head();
        String attemptId = value(head, services.names().attemptId());
        RoutingConfiguration version = configuration.current().orElse(null);
        if (version == null || !services.table().isLoaded()) {
            awaitStart(received, caller, attemptId);
            return;
        }
        Optional<Route> route = version.route(hostOf(head), targetOf(head));
        if (route.isEmpty()) {
            refuse(
                    caller,
                    attemptId,
                    version.version(),
                    OwnAnswer.notRun(ErrorCode.ROUTE_UNKNOWN, 0, "of the request"));
            return;
        }
        Optional<AccountEntry> account = keyOf(head).flatMap(version::account);
        if (account.isEmpty() && version.keysRequired() && !route.get().open()) {
            refuse(caller, attemptId, version.version(), OwnAnswer.notRun(ErrorCode.KEY_UNKNOWN, 0));
            return;
        }
        RoutedRequest request = routed(received, attemptId, version, route.get(), account);
        if (request.endMs() <= services.timeSource().monotonicMs()) {
            refuse(caller, attemptId, version.version(), OwnAnswer.notRun(ErrorCode.NO_UPSTREAM, 0, request.service()));
            return;
        }
        new Exchange(request, caller, services).start();
    }

    @Override
    public void refused(Optional<HttpRequest> head, int status, String reason) {
        services.log()
                .record(
                        EventCode.REQUEST_REFUSED,
                        head.map(each -> value(each, services.names().attemptId()))
                                .orElse(""),
                        "status",
                        status,
                        "cause",
                        reason,
                        "configuration_version",
                        configuration.version());
    }

    /** Holds a request that arrives while the process starts, until it can be routed or a short time has passed. */
    private void awaitStart(ReceivedRequest received, ServerExchange caller, String attemptId) {
        if (services.timeSource().monotonicMs() - received.receivedMs() < START_WAIT_MS && caller.isOpen()) {
            services.loop().schedule(() -> handle(received, caller), START_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            refuse(caller, attemptId, 0, OwnAnswer.notRun(ErrorCode.CONFIGURATION_MISSING, NO_CONFIGURATION_RETRY_MS));
        }
    }

    private RoutedRequest routed(
            ReceivedRequest received,
            String attemptId,
            RoutingConfiguration version,
            Route route,
            Optional<AccountEntry> account) {
        HttpRequest head = received.head();
        HeaderNames names = services.names();
        List<Header> headers = new ArrayList<>();
        for (Header header : HeaderRules.endToEnd(head)) {
            if (!removedHeaders.contains(header.getName().toLowerCase(Locale.ROOT))) {
                headers.add(header);
            }
        }
        String service = route.serviceFor(attemptId.hashCode());
        long limitMs = Math.min(route.timeoutMs(), number(value(head, names.deadlineMs()), route.timeoutMs()));
        int priority = account.map(AccountEntry::priority)
                .filter(rank -> rank != AccountEntry.ROUTE_PRIORITY)
                .orElse(route.priority());
        return new RoutedRequest(
                attemptId,
                head.getMethod(),
                targetOf(head),
                headers,
                received.body(),
                route,
                service,
                account,
                priority,
                version.isUrgent(route, service),
                prompt(value(head, names.promptParts())),
                outputTokens(value(head, names.tokenCount())),
                received.receivedMs(),
                received.receivedMs() + limitMs,
                value(head, names.lastEventId()));
    }

    private void refuse(ServerExchange caller, String attemptId, long version, OwnAnswer answer) {
        services.log()
                .record(
                        EventCode.REQUEST_REFUSED,
                        attemptId,
                        "code",
                        answer.code().wireCode(),
                        "configuration_version",
                        version);
        answer.send(caller, attemptId);
    }

    private static String value(HttpRequest head, String name) {
        Header header = head.getFirstHeader(name);
        return header == null || header.getValue() == null
                ? ""
                : header.getValue().trim();
    }

    private static String targetOf(HttpRequest head) {
        return head.getRequestUri();
    }

    private static String hostOf(HttpRequest head) {
        String host = value(head, HttpHeaders.HOST);
        if (!host.isEmpty()) {
            return host;
        }
        return head.getAuthority() == null ? "" : head.getAuthority().toString();
    }

    private static Optional<String> keyOf(HttpRequest head) {
        try {
            Header header = head.getHeader(HttpHeaders.AUTHORIZATION);
            if (header == null || !header.getValue().toLowerCase(Locale.ROOT).startsWith(BEARER)) {
                return Optional.empty();
            }
            return Optional.of(header.getValue().substring(BEARER.length()).trim());
        } catch (ProtocolException e) {
            // Several keys in one request belong to no single account.
            return Optional.empty();
        }
    }

    private static long number(String text, long otherwise) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    private static Prompt prompt(String text) {
        List<Prompt.Part> parts = new ArrayList<>();
        for (String entry : text.split(",")) {
            int colon = entry.lastIndexOf(':');
            if (colon > 0) {
                parts.add(new Prompt.Part(entry.substring(0, colon).trim(), (int)
                        number(entry.substring(colon + 1).trim(), 0)));
            }
        }
        return parts.isEmpty() ? Prompt.NONE : new Prompt(parts);
    }

    private static int outputTokens(String tokenCount) {
        int comma = tokenCount.indexOf(',');
        return comma < 0 ? 0 : (int) number(tokenCount.substring(comma + 1).trim(), 0);
    }
}
