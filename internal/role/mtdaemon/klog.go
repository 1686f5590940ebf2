package mtdaemon

import (
	"fmt"

	klog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
)

// kratosLogger passes kratos' own lines on to zap.
type kratosLogger struct {
	zap *zap.Logger
}

// Log writes one line; the framework's lines are details.
func (l kratosLogger) Log(level klog.Level, pairs ...any) error {
	write := l.zap.Debug
	if level >= klog.LevelWarn {
		write = l.zap.Warn
	}
	write("kratos", zap.String("text", fmt.Sprint(pairs...)))
	return nil
}
