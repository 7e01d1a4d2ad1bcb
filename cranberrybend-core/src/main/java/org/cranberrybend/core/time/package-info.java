/** Injected clocks. */
package org.cranberrybend.core.time;
