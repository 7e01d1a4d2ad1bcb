/** Retries, idempotency records and positions in streams. */
package org.cranberrybend.core.retry;
