package org.cranberrybend.core.http;

/**
 * The lines that frame a response, without their line ends, as RFC 9112 defines them.
 *
 * <p>A response whose head was corrupted must not be taken for another one. Parsers of libraries join, strip and skip
 * parts of lines before a caller sees a field: a line that begins with white space continues the one before, white space
 * around a name belongs to no field, and a status may be any number. So each line is compared with its syntax as it was
 * received, before it is parsed.
 */
public enum ResponseLine {
    /** Version 1.0 or 1.1, a status from 100 to 599, and optionally a reason. */
    STATUS {
        @Override
        public boolean matches(byte[] bytes, int start, int end) {
            int codeStart = start + VERSION.length() + VERSION_DIGITS;
            int codeEnd = codeStart + STATUS_DIGITS;
            if (codeEnd > end || !startsWith(bytes, start, VERSION) || bytes[codeStart - 1] != ' ') {
                return false;
            }
            byte minorVersion = bytes[start + VERSION.length()];
            boolean versionKnown = minorVersion == '0' || minorVersion == '1';
            boolean inRange = bytes[codeStart] >= '1' && bytes[codeStart] <= '5';
            boolean digits = isDigit(bytes[codeStart + 1]) && isDigit(bytes[codeStart + 2]);
            boolean reason = codeEnd == end || bytes[codeEnd] == ' ' && isText(bytes, codeEnd, end);
            return versionKnown && inRange && digits && reason;
        }
    },
    /** A name, which is a token and is followed by a colon at once, and a value without control characters. */
    FIELD {
        @Override
        public boolean matches(byte[] bytes, int start, int end) {
            int colon = start;
            while (colon < end && isTokenCharacter(bytes[colon])) {
                colon++;
            }
            return colon > start && colon < end && bytes[colon] == ':' && isText(bytes, colon + 1, end);
        }
    },
    /** The size of a chunk in hexadecimal digits, and optionally extensions. */
    CHUNK_SIZE {
        @Override
        public boolean matches(byte[] bytes, int start, int end) {
            int position = start;
            while (position < end && isHexDigit(bytes[position])) {
                position++;
            }
            int digits = position - start;
            boolean extension = position < end && bytes[position] == ';' && isText(bytes, position, end);
            return digits > 0 && digits <= MAX_SIZE_DIGITS && (position == end || extension);
        }
    };

    private static final String VERSION = "HTTP/1.";
    /** The minor version and the space after it. */
    private static final int VERSION_DIGITS = 2;

    private static final int STATUS_DIGITS = 3;
    /** More digits do not fit a signed number of 64 bits. */
    private static final int MAX_SIZE_DIGITS = 15;

    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final byte DELETE = 0x7f;

    /** Returns whether the bytes from a start to an end, which is not included, are such a line. */
    public abstract boolean matches(byte[] bytes, int start, int end);

    private static boolean startsWith(byte[] bytes, int start, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (bytes[start + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isText(byte[] bytes, int start, int end) {
        for (int i = start; i < end; i++) {
            boolean control = bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == DELETE;
            if (control) {
                return false;
            }
        }
        return true;
    }

    private static boolean isTokenCharacter(byte value) {
        return isDigit(value)
                || value >= 'a' && value <= 'z'
                || value >= 'A' && value <= 'Z'
                || value > 0 && TOKEN_PUNCTUATION.indexOf(value) >= 0;
    }

    private static boolean isDigit(byte value) {
        return value >= '0' && value <= '9';
    }

    private static boolean isHexDigit(byte value) {
        return isDigit(value) || value >= 'a' && value <= 'f' || value >= 'A' && value <= 'F';
    }
}
