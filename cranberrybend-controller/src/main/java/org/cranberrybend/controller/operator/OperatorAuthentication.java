package org.cranberrybend.controller.operator;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.runtime.http.JsonRequest;

/** Verifies the bearer token of operator requests and reads the name of the operator. */
final class OperatorAuthentication {
    private static final String SCHEME = "Bearer ";
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9 ._@-]{0,62}";

    private final byte[] tokenDigest;

    /** Creates the authentication for the token with the given SHA-256 digest in hexadecimal digits. */
    OperatorAuthentication(String tokenDigestHex) {
        this.tokenDigest = BaseEncoding.base16().lowerCase().decode(tokenDigestHex);
    }

    /** Verifies the token by comparing digests in constant time. */
    void check(JsonRequest request) throws RequestFailedException {
        String header = request.header("authorization").orElse("");
        String token = header.startsWith(SCHEME) ? header.substring(SCHEME.length()) : "";
        byte[] digest =
                Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
        if (token.isEmpty() || !MessageDigest.isEqual(tokenDigest, digest)) {
            throw RequestFailedException.notRun(ErrorCode.OPERATOR_UNAUTHORIZED);
        }
    }

    /** Returns the name of the operator from the header {@code X-Operator}, or the fallback if the header is absent. */
    static String author(JsonRequest request, String fallback) throws RequestFailedException {
        String author = request.header("x-operator").orElse(fallback);
        if (!author.matches(NAME_PATTERN)) {
            throw RequestFailedException.notRun(
                    ErrorCode.INVALID_HEADER,
                    "X-Operator",
                    "must name the operator with 1 to 63 letters, digits, spaces and '.', '_', '@', '-'");
        }
        return author;
    }
}
