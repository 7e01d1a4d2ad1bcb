/** Domain model and decision logic: state and an explicit clock in, decisions out, no I/O and no threads. */
package org.cranberrybend.core;
