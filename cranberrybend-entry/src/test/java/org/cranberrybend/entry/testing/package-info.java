/** Test fakes of the platform, of callers and of upstreams. */
package org.cranberrybend.entry.testing;
