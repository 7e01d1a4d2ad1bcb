package org.cranberrybend.core.error;

import java.util.Locale;

/**
 * Codes of all errors that callers and operators can receive.
 *
 * <p>The wire code is the constant name in lower case. It is stable, because client software depends on it. Message
 * templates are formatted with {@link String#format}; their arguments must not contain API keys or text sent by
 * callers.
 */
public enum ErrorCode {
    INVALID_JSON(400, Severity.INFO, "The request body is not valid JSON: %s"),
    INVALID_FIELD(400, Severity.INFO, "Field %s: %s"),
    INVALID_HEADER(400, Severity.INFO, "Header %s: %s"),
    KEY_MISSING(401, Severity.INFO, "No API key was sent. Send it as \"Authorization: Bearer KEY\"."),
    KEY_UNKNOWN(401, Severity.INFO, "The API key is not valid."),
    KEY_REVOKED(401, Severity.INFO, "The API key was revoked."),
    CLASS_NOT_ALLOWED(403, Severity.INFO, "Request class \"%s\" is not allowed for this client account."),
    ROUTE_NOT_ALLOWED(403, Severity.INFO, "Route \"%s\" is not open to this client account."),
    MODEL_UNKNOWN(404, Severity.INFO, "Model \"%s\" does not exist or is not open to this client account."),
    ROUTE_UNKNOWN(404, Severity.INFO, "No route matches path \"%s\"."),
    METHOD_NOT_ALLOWED(405, Severity.INFO, "Method %s is not allowed here; allowed: %s"),
    REQUEST_TIMEOUT(408, Severity.INFO, "The request was not received within %d ms."),
    IDEMPOTENCY_IN_PROGRESS(409, Severity.INFO, "A request with this Idempotency-Key is still running."),
    IDEMPOTENCY_OUTCOME_UNKNOWN(
            409, Severity.WARNING, "A request with this Idempotency-Key was sent and its outcome is not known."),
    BODY_TOO_LARGE(413, Severity.INFO, "The request body exceeds %d bytes."),
    IDEMPOTENCY_KEY_MISMATCH(422, Severity.INFO, "This Idempotency-Key was used with a different request."),
    IDEMPOTENCY_KEY_REQUIRED(400, Severity.INFO, "Route \"%s\" requires an Idempotency-Key header."),
    IDEMPOTENCY_KEY_INVALID(400, Severity.INFO, "Idempotency-Key must have 1 to 255 printable ASCII characters."),
    RATE_LIMITED(429, Severity.INFO, "The client account's limit of %s is reached."),
    SHED(429, Severity.INFO, "Capacity is used by requests of the same or a higher tier."),
    TARGET_UNREACHABLE(429, Severity.INFO, "The latency target of class \"%s\" cannot be met at present."),
    HEADERS_TOO_LARGE(431, Severity.INFO, "The request headers exceed the allowed size."),
    INTERNAL(500, Severity.ERROR, "Internal error."),
    UPSTREAM_FAILED(502, Severity.WARNING, "The upstream failed: %s"),
    UPSTREAM_CUT(502, Severity.WARNING, "The answer was cut after %d tokens."),
    NO_UPSTREAM(503, Severity.WARNING, "No upstream for \"%s\" is available."),
    OVERLOADED(503, Severity.WARNING, "All upstreams for \"%s\" are full."),
    NO_UPSTREAM_IN_ALLOWED_REGION(
            503, Severity.WARNING, "No upstream for \"%s\" is available in a region where this request may run."),
    PROMPT_QUARANTINED(503, Severity.WARNING, "Requests with parts of this prompt have crashed upstreams."),
    ACCOUNT_NAME_UNUSABLE(
            503,
            Severity.WARNING,
            "The name of this client account cannot be sent to an upstream; an operator has to change it."),
    CONFIGURATION_MISSING(503, Severity.WARNING, "This instance has not received a configuration yet."),
    CONFIGURATION_STALE(503, Severity.WARNING, "This availability zone has been cut off for longer than allowed."),
    IDEMPOTENCY_STORE_UNAVAILABLE(
            503,
            Severity.WARNING,
            "The store of idempotency keys cannot be reached; this attempt was not run, an earlier one with this key may have."),
    SHUTTING_DOWN(503, Severity.INFO, "This instance is shutting down."),
    UPSTREAM_TIMEOUT(504, Severity.WARNING, "The upstream did not answer within %d ms."),
    REVISION_CONFLICT(409, Severity.INFO, "The configuration changed from revision %d to %d: %s"),
    CONFIGURATION_INVALID(422, Severity.INFO, "The change was refused: %s"),
    STORE_UNAVAILABLE(503, Severity.WARNING, "The platform's key-value service cannot be reached: %s"),
    NOT_FOUND(404, Severity.INFO, "%s does not exist."),
    OPERATOR_UNAUTHORIZED(401, Severity.WARNING, "The operator token is missing or not valid.");

    private final int httpStatus;
    private final Severity severity;
    private final String messageTemplate;

    ErrorCode(int httpStatus, Severity severity, String messageTemplate) {
        this.httpStatus = httpStatus;
        this.severity = severity;
        this.messageTemplate = messageTemplate;
    }

    /** Returns the stable code used in error bodies. */
    public String wireCode() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the HTTP status sent with this error. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the severity with which the error is logged. */
    public Severity severity() {
        return severity;
    }

    /** Returns the message with its arguments filled in. */
    public String message(Object... arguments) {
        return String.format(Locale.ROOT, messageTemplate, arguments);
    }
}
