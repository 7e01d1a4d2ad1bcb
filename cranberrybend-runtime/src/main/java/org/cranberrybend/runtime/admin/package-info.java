/** The administrative port: health, readiness, metrics and events. */
package org.cranberrybend.runtime.admin;
