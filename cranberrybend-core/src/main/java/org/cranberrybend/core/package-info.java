/** Domain model and decision logic without I/O and threads: time is passed in, and decisions are returned. */
package org.cranberrybend.core;
