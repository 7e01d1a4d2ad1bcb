/** Leases with fencing numbers, and the reconciliation of upstream orders that are sent under them. */
package org.cranberrybend.core.lease;
