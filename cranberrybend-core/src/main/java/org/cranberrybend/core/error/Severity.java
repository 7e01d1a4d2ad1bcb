package org.cranberrybend.core.error;

/** Severity of an error or event. */
public enum Severity {
    INFO,
    WARNING,
    ERROR
}
