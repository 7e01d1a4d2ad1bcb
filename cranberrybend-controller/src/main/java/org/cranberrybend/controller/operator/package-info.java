/** The HTTP API for operators. */
package org.cranberrybend.controller.operator;
