/** Numbered events and the hybrid logical clock. */
package org.cranberrybend.core.event;
