/** Writes the configuration to the key-value store and watches its head. */
package org.cranberrybend.controller.configuration;
