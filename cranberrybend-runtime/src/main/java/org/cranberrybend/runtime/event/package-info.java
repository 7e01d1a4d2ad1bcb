/** The event log of a process. */
package org.cranberrybend.runtime.event;
