/** Fakes of the ports for tests. */
package org.cranberrybend.entry.testing;
