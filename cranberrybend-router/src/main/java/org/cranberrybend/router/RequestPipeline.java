package org.cranberrybend.router;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.RouteRule;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.error.RunState;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.router.accept.CallerDisconnectedException;
import org.cranberrybend.router.accept.CallerRequest;
import org.cranberrybend.router.accept.CallerResponse;
import org.cranberrybend.router.accept.RequestHandler;
import org.cranberrybend.router.admit.AccountLimits;
import org.cranberrybend.router.admit.ModelRequest;
import org.cranberrybend.router.admit.ModelRequestReader;
import org.cranberrybend.router.admit.TextSanitizer;
import org.cranberrybend.router.authenticate.Authenticator;
import org.cranberrybend.router.authenticate.Caller;
import org.cranberrybend.router.dispatch.CallAbortedException;
import org.cranberrybend.router.dispatch.DispatchResult;
import org.cranberrybend.router.dispatch.ModelDispatcher;
import org.cranberrybend.router.dispatch.RequestContext;
import org.cranberrybend.router.dispatch.ServiceDispatcher;
import org.cranberrybend.router.meter.RouterMetrics;
import org.cranberrybend.router.meter.RouterMetrics.Outcome;
import org.cranberrybend.router.meter.UsageMeter;
import org.cranberrybend.runtime.event.EventLog;

/** Processes each request in phases: authenticate, admit, route and dispatch, meter. */
final class RequestPipeline implements RequestHandler {
    private static final String MODELS_PATH = "/v1/models";
    private static final String REQUEST_CLASS_HEADER = "X-Request-Class";
    private static final String NO_CLASS = "none";

    private final Authenticator authenticator;
    private final AccountLimits limits;
    private final ModelDispatcher models;
    private final ServiceDispatcher services;
    private final UsageMeter usage;
    private final RouterMetrics metrics;
    private final EventLog events;

    RequestPipeline(
            Authenticator authenticator,
            AccountLimits limits,
            ModelDispatcher models,
            ServiceDispatcher services,
            UsageMeter usage,
            RouterMetrics metrics,
            EventLog events) {
        this.authenticator = authenticator;
        this.limits = limits;
        this.models = models;
        this.services = services;
        this.usage = usage;
        this.metrics = metrics;
        this.events = events;
    }

    /** State of a request that its error response and final event need; filled in by the phases. */
    private static final class Progress {
        private String keyId = "";
        private RequestContext context;

        String className() {
            return context == null ? NO_CLASS : context.requestClass().name();
        }
    }

    @Override
    public String handle(CallerRequest request, CallerResponse response)
            throws CallerDisconnectedException, InterruptedException {
        Progress progress = new Progress();
        try {
            DispatchResult result = process(request, response, progress);
            if (result.isComplete()) {
                recordEnd(request, progress, EventCode.REQUEST_COMPLETED, Outcome.COMPLETED, Map.of());
            } else {
                Map<String, Object> fields = Map.of("code", result.error().wireCode());
                recordEnd(request, progress, EventCode.REQUEST_FAILED, Outcome.FAILED, fields);
            }
        } catch (RequestFailedException e) {
            fail(request, response, progress, e);
        } catch (CallAbortedException e) {
            if (!e.isKeyRevoked()) {
                abandon(request, progress);
                throw new CallerDisconnectedException(e);
            }
            boolean sent = progress.context != null && progress.context.isSent();
            fail(
                    request,
                    response,
                    progress,
                    sent
                            ? RequestFailedException.outcomeUnknown(ErrorCode.KEY_REVOKED)
                            : RequestFailedException.notRun(ErrorCode.KEY_REVOKED));
        } catch (CallerDisconnectedException e) {
            abandon(request, progress);
            throw e;
        } catch (RuntimeException e) {
            failInternally(request, response, progress, e);
        }
        return progress.keyId;
    }

    @Override
    public boolean isRevoked(String keyId) {
        return authenticator.isRevoked(keyId);
    }

    private DispatchResult process(CallerRequest request, CallerResponse response, Progress progress)
            throws RequestFailedException, CallAbortedException, CallerDisconnectedException, InterruptedException {
        ConfigurationView view = authenticator.awaitView();
        String path = request.path();
        if (path.equals(MODELS_PATH)) {
            checkMethod(request, List.of("GET"));
            Caller caller = authenticate(view, request, List.of(), progress);
            return listModels(caller, request, response);
        }
        if (path.equals(ModelRequest.CHAT_PATH) || path.equals(ModelRequest.TEXT_PATH)) {
            checkMethod(request, List.of("POST"));
            Caller caller = authenticate(view, request, List.of(), progress);
            return serveCompletion(view, caller, request, response, progress);
        }
        PathCheck.check(path);
        Map.Entry<String, RouteRule> route = view.routeFor(path)
                .orElseThrow(
                        () -> RequestFailedException.notRun(ErrorCode.ROUTE_UNKNOWN, TextSanitizer.sanitize(path)));
        return serveRoute(view, route.getKey(), route.getValue(), request, response, progress);
    }

    private Caller authenticate(
            ConfigurationView view, CallerRequest request, List<String> keyHeaders, Progress progress)
            throws RequestFailedException {
        Caller caller = authenticator.authenticate(view, request, keyHeaders);
        progress.keyId = caller.keyId();
        return caller;
    }

    private DispatchResult listModels(Caller caller, CallerRequest request, CallerResponse response)
            throws RequestFailedException, CallerDisconnectedException {
        request.body();
        List<Map<String, String>> data = new ArrayList<>();
        caller.template().models().forEach(name -> data.add(Map.of("id", name, "object", "model")));
        String json = CanonicalJson.write(Map.of("object", "list", "data", data));
        response.send(200, List.of(), json.getBytes(StandardCharsets.UTF_8), "application/json");
        return DispatchResult.COMPLETED;
    }

    private DispatchResult serveCompletion(
            ConfigurationView view, Caller caller, CallerRequest request, CallerResponse response, Progress progress)
            throws RequestFailedException, CallAbortedException, CallerDisconnectedException, InterruptedException {
        RequestClass requestClass = requestClass(caller, request);
        byte[] body = request.body();
        services.keyStripper(view).checkBody(body, List.of());
        ModelRequest model = ModelRequestReader.read(request.path(), body, view, caller.template());
        long expectedTokens = model.promptTokens() + model.expectedOutputTokens();
        AccountLimits.Permit permit = limits.admit(caller, expectedTokens);
        RequestContext context = recordAccepted(request, caller, requestClass, model.model(), progress);
        try {
            return models.dispatch(context, model, response);
        } finally {
            permit.close(context.promptTokens() + context.outputTokens());
        }
    }

    private DispatchResult serveRoute(
            ConfigurationView view,
            String routeName,
            RouteRule rule,
            CallerRequest request,
            CallerResponse response,
            Progress progress)
            throws RequestFailedException, CallAbortedException, CallerDisconnectedException, InterruptedException {
        checkMethod(request, rule.methods());
        Caller caller;
        if (rule.openToAll()) {
            caller = authenticator.anonymousCaller();
        } else {
            caller = authenticate(view, request, rule.keyHeaders(), progress);
            if (!caller.template().routes().contains(routeName)) {
                throw RequestFailedException.notRun(ErrorCode.ROUTE_NOT_ALLOWED, routeName);
            }
        }
        RequestClass requestClass = caller.isAnonymous() ? Caller.ANONYMOUS_CLASS : requestClass(caller, request);
        ServiceDispatcher.ForwardedRequest forwarding = services.prepare(view, routeName, rule, request);
        try (AccountLimits.Permit permit = limits.admit(caller, 0)) {
            RequestContext context = recordAccepted(request, caller, requestClass, rule.service(), progress);
            return services.dispatch(context, forwarding, response);
        }
    }

    private RequestContext recordAccepted(
            CallerRequest request, Caller caller, RequestClass requestClass, String service, Progress progress) {
        progress.context = new RequestContext(request, caller, requestClass, service, authenticator, events);
        progress.context.record(
                EventCode.REQUEST_ACCEPTED,
                Map.of(
                        "account",
                        caller.account(),
                        "class",
                        requestClass.name(),
                        "tier",
                        requestClass.tier().number(),
                        "service",
                        service));
        return progress.context;
    }

    private static RequestClass requestClass(Caller caller, CallerRequest request) throws RequestFailedException {
        String name = request.header(REQUEST_CLASS_HEADER).orElse("");
        return caller.template()
                .requestClass(name)
                .orElseThrow(
                        () -> RequestFailedException.notRun(ErrorCode.CLASS_NOT_ALLOWED, TextSanitizer.sanitize(name)));
    }

    private static void checkMethod(CallerRequest request, List<String> allowed) throws RequestFailedException {
        if (!allowed.contains(request.method())) {
            throw RequestFailedException.notRun(
                    ErrorCode.METHOD_NOT_ALLOWED, TextSanitizer.sanitize(request.method()), String.join(", ", allowed));
        }
    }

    private void fail(CallerRequest request, CallerResponse response, Progress progress, RequestFailedException failure)
            throws CallerDisconnectedException {
        Map<String, Object> fields = Map.of(
                "code",
                failure.code().wireCode(),
                "run_state",
                failure.runState().wireName());
        if (failure.runState() == RunState.NOT_RUN) {
            recordEnd(request, progress, EventCode.REQUEST_REFUSED, Outcome.REFUSED, fields);
        } else {
            recordEnd(request, progress, EventCode.REQUEST_FAILED, Outcome.FAILED, fields);
        }
        response.sendError(failure);
    }

    private void abandon(CallerRequest request, Progress progress) {
        recordEnd(request, progress, EventCode.REQUEST_ABANDONED, Outcome.ABANDONED, Map.of());
    }

    private void failInternally(
            CallerRequest request, CallerResponse response, Progress progress, RuntimeException failure)
            throws CallerDisconnectedException {
        events.record(
                EventCode.INTERNAL_FAILURE,
                request.requestId(),
                Map.of("failure", failure.getClass().getName(), "at", topFrame(failure)));
        if (response.isStarted()) {
            throw new CallerDisconnectedException(failure);
        }
        boolean sent = progress.context != null && progress.context.isSent();
        fail(
                request,
                response,
                progress,
                sent
                        ? RequestFailedException.outcomeUnknown(ErrorCode.INTERNAL)
                        : RequestFailedException.notRun(ErrorCode.INTERNAL));
    }

    /** Returns where a failure was thrown. The message is omitted because it may quote text of the caller. */
    private static String topFrame(RuntimeException failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        return frames.length == 0 ? "" : frames[0].toString();
    }

    private void recordEnd(
            CallerRequest request, Progress progress, EventCode code, Outcome outcome, Map<String, Object> fields) {
        RequestContext context = progress.context;
        if (context != null && context.isDelivered()) {
            UsageKey key = new UsageKey(
                    context.caller().account(), context.requestClass().name(), context.service());
            usage.count(key, new UsageTotals(1, context.promptTokens(), context.outputTokens()));
            metrics.countTokens(progress.className(), context.promptTokens(), context.outputTokens());
        }
        metrics.countRequest(progress.className(), outcome);
        events.record(code, request.requestId(), fields);
    }
}
