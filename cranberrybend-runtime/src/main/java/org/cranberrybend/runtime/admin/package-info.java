/** The admin port: health, readiness, metrics, events and status. */
package org.cranberrybend.runtime.admin;
