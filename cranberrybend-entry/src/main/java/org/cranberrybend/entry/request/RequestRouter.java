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
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.configuration.Route;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.http.HeaderRules;
import org.cranberrybend.entry.http.HeaderText;
import org.cranberrybend.entry.http.ReceivedRequest;
import org.cranberrybend.entry.http.RequestHandler;
import org.cranberrybend.entry.http.ServerExchange;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.store.ConfigurationHolder;
import org.cranberrybend.entry.upstream.Prompt;

/** Determines the route and the client account of each request, and starts its exchange or refuses it. */
public final class RequestRouter implements RequestHandler {
    private static final String BEARER = "bearer ";
    private static final long NO_CONFIGURATION_RETRY_AFTER_MS = 500;
    /** Other instances serve meanwhile, so that the caller may come back soon. */
    static final long SHUTDOWN_RETRY_AFTER_MS = 100;

    /** Time after its receipt for which a request waits for the first configuration and the first list of upstreams. */
    private static final long MAX_STARTUP_WAIT_MS = 300;

    private static final long STARTUP_POLL_MS = 25;

    private final ConfigurationHolder configuration;
    private final RequestServices services;
    private final Set<String> removedHeaders;

    RequestRouter(ConfigurationHolder configuration, RequestServices services) {
        this.configuration = configuration;
        this.services = services;
        this.removedHeaders = services.headerNames().reserved();
    }

    @Override
    public void handle(ReceivedRequest received, ServerExchange caller) {
        HttpRequest head = received.head();
        String attemptId = headerValue(head, services.headerNames().attemptId());
        if (services.requests().isRefusing()) {
            refuse(
                    caller,
                    attemptId,
                    configuration.version(),
                    ErrorResponse.notRun(ErrorCode.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_MS));
            return;
        }
        RoutingConfiguration version = configuration.current().orElse(null);
        if (version == null || !services.table().isLoaded()) {
            awaitStartup(received, caller, attemptId);
            return;
        }
        Optional<Route> route = version.route(hostOf(head), targetOf(head));
        if (route.isEmpty()) {
            refuse(
                    caller,
                    attemptId,
                    version.version(),
                    ErrorResponse.notRun(ErrorCode.ROUTE_UNKNOWN, 0, "of the request"));
            return;
        }
        Optional<AccountEntry> account = apiKeyOf(head).flatMap(version::account);
        if (account.isEmpty() && version.keysRequired() && !route.get().allowAnonymous()) {
            refuse(caller, attemptId, version.version(), ErrorResponse.notRun(ErrorCode.KEY_UNKNOWN, 0));
            return;
        }
        if (account.isPresent() && HeaderText.encode(account.get().name()).isEmpty()) {
            refuse(caller, attemptId, version.version(), ErrorResponse.notRun(ErrorCode.ACCOUNT_NAME_UNUSABLE, 0));
            return;
        }
        RoutedRequest request = toRoutedRequest(received, attemptId, version, route.get(), account);
        if (request.deadlineMs() <= services.timeSource().monotonicMs()) {
            refuse(
                    caller,
                    attemptId,
                    version.version(),
                    ErrorResponse.notRun(ErrorCode.NO_UPSTREAM, 0, request.service()));
            return;
        }
        new Exchange(request, caller, services).start();
    }

    @Override
    public void onRefused(Optional<HttpRequest> head, int status, String reason) {
        services.log()
                .record(
                        EventCode.REQUEST_REFUSED,
                        head.map(each ->
                                        headerValue(each, services.headerNames().attemptId()))
                                .orElse(""),
                        "status",
                        status,
                        "cause",
                        reason,
                        "configuration_version",
                        configuration.version());
    }

    /** Holds a request that arrives during startup until it can be routed; refuses it after a short wait. */
    private void awaitStartup(ReceivedRequest received, ServerExchange caller, String attemptId) {
        if (services.timeSource().monotonicMs() - received.receivedMs() < MAX_STARTUP_WAIT_MS && caller.isOpen()) {
            services.loop().schedule(() -> handleIfOpen(received, caller), STARTUP_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            refuse(
                    caller,
                    attemptId,
                    0,
                    ErrorResponse.notRun(ErrorCode.CONFIGURATION_MISSING, NO_CONFIGURATION_RETRY_AFTER_MS));
        }
    }

    /** Handles a request that has waited, unless its caller has left: nothing else would end it then. */
    private void handleIfOpen(ReceivedRequest received, ServerExchange caller) {
        if (caller.isOpen()) {
            handle(received, caller);
        }
    }

    private RoutedRequest toRoutedRequest(
            ReceivedRequest received,
            String attemptId,
            RoutingConfiguration version,
            Route route,
            Optional<AccountEntry> account) {
        HttpRequest head = received.head();
        HeaderNames names = services.headerNames();
        List<Header> headers = new ArrayList<>();
        for (Header header : HeaderRules.endToEnd(head)) {
            if (!removedHeaders.contains(header.getName().toLowerCase(Locale.ROOT))) {
                headers.add(header);
            }
        }
        String service = route.serviceFor(attemptId.hashCode());
        long limitMs = Math.min(route.timeoutMs(), parseLong(headerValue(head, names.deadlineMs()), route.timeoutMs()));
        int priority = account.map(AccountEntry::priority)
                .filter(accountPriority -> accountPriority != AccountEntry.ROUTE_PRIORITY)
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
                version.latencyClass(route, service),
                parsePrompt(service, headerValue(head, names.promptParts())),
                parseOutputTokens(headerValue(head, names.tokenCount())),
                received.receivedMs(),
                received.receivedMs() + limitMs,
                headerValue(head, names.lastEventId()),
                account.map(AccountEntry::regions).orElse(RegionConstraint.NONE).and(route.regions()));
    }

    private void refuse(ServerExchange caller, String attemptId, long version, ErrorResponse response) {
        services.log()
                .record(
                        EventCode.REQUEST_REFUSED,
                        attemptId,
                        "code",
                        response.code().wireCode(),
                        "configuration_version",
                        version);
        response.send(caller, attemptId);
    }

    private static String headerValue(HttpRequest head, String name) {
        Header header = head.getFirstHeader(name);
        return header == null || header.getValue() == null
                ? ""
                : header.getValue().trim();
    }

    private static String targetOf(HttpRequest head) {
        return head.getRequestUri();
    }

    private static String hostOf(HttpRequest head) {
        String host = headerValue(head, HttpHeaders.HOST);
        if (!host.isEmpty()) {
            return host;
        }
        return head.getAuthority() == null ? "" : head.getAuthority().toString();
    }

    private static Optional<String> apiKeyOf(HttpRequest head) {
        try {
            Header header = head.getHeader(HttpHeaders.AUTHORIZATION);
            if (header == null || !header.getValue().toLowerCase(Locale.ROOT).startsWith(BEARER)) {
                return Optional.empty();
            }
            return Optional.of(header.getValue().substring(BEARER.length()).trim());
        } catch (ProtocolException e) {
            // With several Authorization headers the account is ambiguous; the request is treated as anonymous.
            return Optional.empty();
        }
    }

    private static long parseLong(String text, long defaultValue) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    private static Prompt parsePrompt(String service, String text) {
        List<Prompt.Part> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            int colon = part.lastIndexOf(':');
            if (colon > 0) {
                parts.add(new Prompt.Part(part.substring(0, colon).trim(), (int)
                        parseLong(part.substring(colon + 1).trim(), 0)));
            }
        }
        return parts.isEmpty() ? Prompt.NONE : Prompt.of(service, parts);
    }

    private static int parseOutputTokens(String tokenCount) {
        int comma = tokenCount.indexOf(',');
        return comma < 0 ? 0 : (int) parseLong(tokenCount.substring(comma + 1).trim(), 0);
    }
}
