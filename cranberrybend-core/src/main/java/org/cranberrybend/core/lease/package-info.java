/** Rules for holders of leases: when a lease may be used, and what becomes of orders without a response. */
package org.cranberrybend.core.lease;
