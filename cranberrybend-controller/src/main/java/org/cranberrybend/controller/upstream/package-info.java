/** Polling of the platform's list of instances. */
package org.cranberrybend.controller.upstream;
